/**
 * What stands outside: engine, plain service, log, VM list and weight store, each behind one
 * interface with an HTTP adapter.
 */
package dev.ibishub.backends;
