/** Checked settings of the processes and the published configuration, in JSON with comments. */
package dev.ibishub.settings;
