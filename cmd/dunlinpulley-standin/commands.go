package main

import (
	"context"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/dunlinpulley/dunlinpulley/internal/settings"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/engine"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/platform"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/service"
)

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:         "engine",
		Usage:        "run a model engine",
		OnUsageError: settings.UsageError,
		Action:       runEngine,
		Flags: append(addressFlags("127.0.0.1:9000"),
			newFlag("name", "engine", "name in logs"),
			newFlag("seed", "1", "seed of the answers, the same for all engines of a service"),
			newFlag("max-batch", strconv.Itoa(engine.DefaultMaxBatch), "maximum number of concurrent requests"),
			newFlag("max-queue", strconv.Itoa(engine.DefaultMaxQueue), "maximum number of queued requests; more are refused"),
			newFlag("step-base", engine.DefaultStepBase.String(), "base time of a token step"),
			newFlag("step-per-request", engine.DefaultStepPerRequest.String(), "time added to a token step for each running request"),
			newFlag("prefill-per-token", engine.DefaultPrefillPerToken.String(), "prefill time per prompt token that is not cached"),
			newFlag("cache-blocks", strconv.Itoa(engine.DefaultCacheBlocks), "size of the prefix cache, in prompt blocks of 16 tokens"),
			newFlag("report-lag", engine.DefaultReportLag.String(), "age of load reports and cache events"),
			&cli.BoolFlag{Name: "ignore-fencing", Usage: "accept orders with old fencing numbers",
				Sources: cli.EnvVars(envPrefix + "IGNORE_FENCING")},
		),
	}
}

func runEngine(ctx context.Context, c *cli.Command) error {
	r := settings.NewReader(c)
	addresses := readAddresses(r, c)
	options := engine.Options{
		Name:            r.Name("name"),
		Seed:            r.Uint64("seed"),
		MaxBatch:        r.Int("max-batch", 1, maxCount),
		MaxQueue:        r.Int("max-queue", 1, maxCount),
		StepBase:        r.Duration("step-base", minTime, maxTime),
		StepPerRequest:  r.Duration("step-per-request", minTime, maxTime),
		PrefillPerToken: r.Duration("prefill-per-token", minTime, maxTime),
		CacheBlocks:     r.Int("cache-blocks", 1, maxCount),
		ReportLag:       r.Duration("report-lag", minTime, maxTime),
		IgnoreFencing:   c.Bool("ignore-fencing"),
	}
	err := r.Err()
	if err != nil {
		return err
	}
	servers, err := listen(addresses)
	if err != nil {
		return err
	}
	options.Network = servers.network()
	e := engine.New(options)
	defer e.Close()
	return servers.serve(ctx, e)
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:         "service",
		Usage:        "run a plain service",
		OnUsageError: settings.UsageError,
		Action:       runService,
		Flags: append(addressFlags("127.0.0.1:9100"),
			newFlag("name", "service", "name in answers"),
			newFlag("service-time", service.DefaultServiceTime.String(), "time of one execution"),
			newFlag("max-running", "0", "maximum number of concurrent executions, above which requests are refused; 0 means no limit"),
		),
	}
}

func runService(ctx context.Context, c *cli.Command) error {
	r := settings.NewReader(c)
	addresses := readAddresses(r, c)
	options := service.Options{
		Name:        r.Name("name"),
		ServiceTime: r.Duration("service-time", minTime, maxTime),
		MaxRunning:  r.Int("max-running", 0, maxCount),
	}
	err := r.Err()
	if err != nil {
		return err
	}
	servers, err := listen(addresses)
	if err != nil {
		return err
	}
	options.Network = servers.network()
	return servers.serve(ctx, service.New(options))
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:         "platform",
		Usage:        "run the platform's table service and host list",
		OnUsageError: settings.UsageError,
		Action:       runPlatform,
		Flags: append(addressFlags("127.0.0.1:9200"),
			newFlag("writes-per-second", strconv.Itoa(platform.DefaultWritesPerSecond), "maximum rate of rows written, per second"),
			newFlag("reads-per-second", strconv.Itoa(platform.DefaultReadsPerSecond), "maximum rate of gets and scans, per second"),
			newFlag("hosts-lag", platform.DefaultHostsLag.String(), "time until a change of the host list becomes visible"),
		),
	}
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	r := settings.NewReader(c)
	addresses := readAddresses(r, c)
	options := platform.Options{
		WritesPerSecond: r.Int("writes-per-second", 1, maxCount),
		ReadsPerSecond:  r.Int("reads-per-second", 1, maxCount),
		HostsLag:        r.Duration("hosts-lag", minTime, maxTime),
	}
	err := r.Err()
	if err != nil {
		return err
	}
	servers, err := listen(addresses)
	if err != nil {
		return err
	}
	options.Network = servers.network()
	return servers.serve(ctx, platform.New(options))
}
