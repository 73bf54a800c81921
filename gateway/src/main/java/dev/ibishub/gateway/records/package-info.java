/** Follows the platform's keyed records, alone or by what other entries have read. */
package dev.ibishub.gateway.records;
