/**
 * Parsing and validation of process settings and of the published configuration, both JSON with
 * comments.
 */
package dev.ibishub.settings;
