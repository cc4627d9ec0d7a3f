// Package quarantine tells requests that end the upstreams which run them from
// those that merely ran beside one. It has no I/O and starts nothing.
//
// A [Recorder] holds what one VM sees: which runs an upstream's process did not
// survive, and which came to their end. [Evaluate] adds the books of all VMs up and
// decides; whoever asks it keeps the [Hold]s and lets all VMs know of them.
//
// One end says little: of all that ran there, one request at most is the cause.
// Three things tell it from the others. It is there again when the next upstream
// ends; it never comes to its end; and once it is suspected, it runs where no
// other suspect does (see [RendezvousIndex]), so that the next end has one explanation.
package quarantine
