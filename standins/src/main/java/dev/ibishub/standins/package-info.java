/** Stand-ins for what surrounds the system, and the load tool. Not shipped. */
package dev.ibishub.standins;
