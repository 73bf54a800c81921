/** The balance of experts over a day of drift. */
package dev.ibishub.bench.experts;
