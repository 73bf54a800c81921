/** Measures how evenly expert placement balances load, over a day of drift and from one start. */
package dev.ibishub.bench.experts;
