/** The protocol between the processes: protobuf messages over Netty. */
package dev.ibishub.wire;
