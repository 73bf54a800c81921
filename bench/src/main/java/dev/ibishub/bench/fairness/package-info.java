/** Measures what small workspaces feel while a large one floods. */
package dev.ibishub.bench.fairness;
