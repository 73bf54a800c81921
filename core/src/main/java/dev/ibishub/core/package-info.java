/**
 * Decision logic: deterministic classes without I/O, clocks, randomness or threads of their own.
 * The classes of this package are used behind ibishub's own interface, those of its packages {@code
 * serving}, {@code ranks} and {@code entries} on the platform of its users.
 */
package dev.ibishub.core;
