/** ibishub-entry: the process that faces callers and operators. */
package dev.ibishub.entry;
