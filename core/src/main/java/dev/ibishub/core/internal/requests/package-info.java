/** Behind the front door of a request's life: shards of attempts and entries of claims. */
package dev.ibishub.core.internal.requests;
