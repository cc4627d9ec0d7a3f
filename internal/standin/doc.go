// Package standin plays the systems that the router is placed between: model
// engines, plain services, the rater, the weight store and the platform's list
// of VMs. It speaks their published protocols over HTTP, keeps a book of what
// it ran, and fails on request. It shares no code with the router's clients.
package standin
