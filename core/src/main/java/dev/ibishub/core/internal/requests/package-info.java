/** Internals of request handling: shards of the attempt table and entries of the claim ledger. */
package dev.ibishub.core.internal.requests;
