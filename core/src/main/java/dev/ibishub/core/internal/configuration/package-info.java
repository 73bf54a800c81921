/** Internals of {@link dev.ibishub.core.ConfigurationReader}: hashes and bounded histories. */
package dev.ibishub.core.internal.configuration;
