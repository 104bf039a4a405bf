package capacity

import (
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
)

// subsetSamples is the number of choices over which CPU time is averaged.
const subsetSamples = 20

// members returns entries and agents as candidates for links.
func members(entries, agents int) (entryMembers, agentMembers []policy.LinkMember) {
	for i := range entries {
		entryMembers = append(entryMembers, policy.LinkMember{Name: entryName(i), DataCentre: dataCentreName(i)})
	}
	for i := range agents {
		agentMembers = append(agentMembers, policy.LinkMember{
			Name: endpointName(i), DataCentre: dataCentreName(i / targetModels), Groups: []string{modelName(i % targetModels)},
		})
	}
	return entryMembers, agentMembers
}

func subsetCPUTime(entryCount int) (float64, error) {
	entries, agents := members(entryCount, targetAgents)
	return cpuTimePerCall(subsetSamples, func(i int) {
		policy.AgentLinks(entries[i%entryCount], entries, agents)
		policy.PeerLinks(entries[i%entryCount], entries)
	}), nil
}

func meanLinkedAgents(entryCount int) (float64, error) {
	entries, agents := members(entryCount, targetAgents)
	links := 0
	for _, self := range entries {
		links += len(policy.AgentLinks(self, entries, agents))
	}
	return float64(links) / float64(entryCount), nil
}

func meanLinkedPeers(entryCount int) (float64, error) {
	entries, _ := members(entryCount, 0)
	links := 0
	for _, self := range entries {
		links += len(policy.PeerLinks(self, entries))
	}
	return float64(links) / float64(entryCount), nil
}
