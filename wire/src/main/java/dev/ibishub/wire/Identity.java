package dev.ibishub.wire;

import dev.ibishub.core.ResultCode;
import dev.ibishub.wire.generated.Hello;
import dev.ibishub.wire.generated.HelloReply;
import java.util.Objects;

/**
 * The identity that this process presents to its peers in the handshake.
 *
 * @param processId name of the process in the settings
 * @param role kind of the process, {@code entry} or {@code agent}
 * @param zone failure domain of the process
 * @param incarnation drawn anew at each start, so that peers can tell a restart from a reconnect
 */
public record Identity(String processId, String role, String zone, long incarnation) {
  /** Protocol version of this release; peers of another version are rejected. */
  public static final int PROTOCOL_VERSION = 1;

  public Identity {
    Objects.requireNonNull(processId);
    Objects.requireNonNull(role);
    Objects.requireNonNull(zone);
  }

  Hello hello() {
    return Hello.newBuilder()
        .setProtocolVersion(PROTOCOL_VERSION)
        .setProcessId(processId)
        .setRole(role)
        .setZone(zone)
        .setIncarnation(incarnation)
        .build();
  }

  HelloReply reply(ResultCode code, String detail) {
    return HelloReply.newBuilder()
        .setProtocolVersion(PROTOCOL_VERSION)
        .setProcessId(processId)
        .setRole(role)
        .setZone(zone)
        .setIncarnation(incarnation)
        .setResultCode(code.number())
        .setDetail(detail)
        .build();
  }
}
