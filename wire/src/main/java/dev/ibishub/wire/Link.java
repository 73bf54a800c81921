package dev.ibishub.wire;

import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.HelloReply;
import io.netty.channel.Channel;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

/** One connection between two ibishub processes whose handshake is complete. Thread-safe. */
public final class Link {
  /**
   * Limit of the outbound buffer, in bytes. While it is exceeded, {@link #offer} rejects frames, so
   * that a slow or frozen peer holds only a bounded amount of memory.
   */
  static final int MAXIMUM_PENDING_BYTES = 8 << 20;

  private final Channel channel;
  private final Peer peer;

  private Link(Channel channel, Peer peer) {
    this.channel = channel;
    this.peer = peer;
  }

  /** Returns a link over a channel whose handshake is complete. */
  public static Link over(Channel channel, Peer peer) {
    return new Link(channel, peer);
  }

  /** Returns the identity that the peer gave in the handshake. */
  public Peer peer() {
    return peer;
  }

  public boolean isOpen() {
    return channel.isActive();
  }

  /**
   * Sends a frame if the link is open and its outbound buffer is below the limit.
   *
   * @return false when the frame was certainly not sent; true does not mean that it arrives
   */
  public boolean offer(Frame frame) {
    // A frame that was not handed to the channel cannot reach the peer, so false is definite. Once
    // handed over, it may arrive even if the write fails later.
    if (!channel.isActive() || pendingBytes() > MAXIMUM_PENDING_BYTES) {
      return false;
    }
    channel.writeAndFlush(frame, channel.voidPromise());
    return true;
  }

  /**
   * Returns whether all accepted frames were handed to the operating system, or the link closed.
   */
  public boolean isFlushed() {
    return !channel.isActive() || pendingBytes() == 0;
  }

  /** Closes the link; frames accepted before may or may not arrive. */
  public void close() {
    channel.close();
  }

  /** Returns a future that completes when the link has closed, from either side. */
  public CompletableFuture<Void> closed() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    channel.closeFuture().addListener(future -> done.complete(null));
    return done;
  }

  private long pendingBytes() {
    var buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes();
  }

  @Override
  public String toString() {
    return peer.processId() + "@" + channel.remoteAddress();
  }

  /**
   * The identity that a peer gave in the handshake.
   *
   * @param processId name of the process in the settings
   * @param role kind of the process, {@code entry} or {@code agent}
   * @param zone failure domain of the process
   * @param incarnation drawn anew at each start of the process
   */
  public record Peer(String processId, String role, String zone, long incarnation) {
    public Peer {
      Objects.requireNonNull(processId);
      Objects.requireNonNull(role);
      Objects.requireNonNull(zone);
    }

    static Peer of(HelloReply reply) {
      return new Peer(
          reply.getProcessId(), reply.getRole(), reply.getZone(), reply.getIncarnation());
    }
  }
}
