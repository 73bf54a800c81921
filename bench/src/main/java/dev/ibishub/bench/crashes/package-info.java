/**
 * Measures policies that quarantine requests which crash targets: crashes caused and innocent
 * requests refused.
 */
package dev.ibishub.bench.crashes;
