// Package app builds the processes of the product, which the main packages under
// cmd start: entries, agents, and a whole deployment with stand-ins in one
// process. It reads settings, connects the decision cores to links, clients and
// servers, exports metrics and handles shutdown. It makes no decisions itself; its
// state is the running process: the calls in progress, the links and the
// configuration in force.
package app
