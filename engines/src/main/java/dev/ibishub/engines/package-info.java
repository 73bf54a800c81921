/** Model engines and plain services, each behind one interface with an HTTP adapter. */
package dev.ibishub.engines;
