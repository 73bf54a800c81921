/** How few crashes and how few wrong refusals the blame for crashed targets comes to. */
package dev.ibishub.bench.crashes;
