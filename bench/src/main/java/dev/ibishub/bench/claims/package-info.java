/** What claiming a call on the log costs. */
package dev.ibishub.bench.claims;
