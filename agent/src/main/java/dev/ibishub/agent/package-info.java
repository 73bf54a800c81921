/** ibishub-agent: the process beside each target. */
package dev.ibishub.agent;
