/** The decisions: deterministic classes with no I/O, clock or threads of their own. */
package dev.ibishub.core;
