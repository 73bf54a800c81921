/** Helpers of the configuration's acceptance. */
package dev.ibishub.core.internal.configuration;
