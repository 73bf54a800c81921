/** ibishub: the operators command line. */
package dev.ibishub.cli;
