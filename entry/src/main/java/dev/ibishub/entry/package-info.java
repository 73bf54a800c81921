/** The process {@code ibishub-entry}, which faces callers and operators. */
package dev.ibishub.entry;
