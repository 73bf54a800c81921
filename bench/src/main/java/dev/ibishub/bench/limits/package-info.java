/** Measures how well entries together keep the request rate limits that targets announce. */
package dev.ibishub.bench.limits;
