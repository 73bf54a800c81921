package dev.ibishub.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.ByteOrder;

/**
 * Decoder of frames, which must be short until the handshake is complete, and of which all links
 * together may have only so much incomplete. Longer frames close the link. Runs on the link's event
 * loop.
 */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {
  /** Size of the longest frame of a handshake, bytes. */
  static final int MAXIMUM_HANDSHAKE_BYTES = 4 << 10;

  /** Size of the longest frame that need not be reserved, bytes. */
  private static final int SMALL_FRAME_BYTES = 64 << 10;

  private final FrameMemory memory;
  private boolean isPeer;
  private long reservedBytes;

  /**
   * Creates a decoder for a new link.
   *
   * @param memory the memory for incomplete frames of all links
   */
  FrameDecoder(int maximumFrameBytes, int lengthFieldBytes, FrameMemory memory) {
    super(maximumFrameBytes, 0, lengthFieldBytes, 0, lengthFieldBytes);
    this.memory = memory;
  }

  /** Accepts frames of any size, as the handshake is complete. */
  void onHandshake() {
    isPeer = true;
  }

  @Override
  protected long getUnadjustedFrameLength(ByteBuf buffer, int offset, int length, ByteOrder order) {
    long frameBytes = super.getUnadjustedFrameLength(buffer, offset, length, order);
    if (!isPeer && frameBytes > MAXIMUM_HANDSHAKE_BYTES) {
      throw new TooLongFrameException(
          "a frame of %d bytes before the handshake".formatted(frameBytes));
    }
    if (frameBytes > SMALL_FRAME_BYTES && reservedBytes == 0) {
      reserve(frameBytes);
    }
    return frameBytes;
  }

  private void reserve(long frameBytes) {
    if (!memory.tryReserve(frameBytes)) {
      throw new TooLongFrameException(
          "no memory for a frame of %d bytes beside those of other links".formatted(frameBytes));
    }
    reservedBytes = frameBytes;
  }

  @Override
  protected ByteBuf extractFrame(
      ChannelHandlerContext context, ByteBuf buffer, int index, int length) {
    release();
    return super.extractFrame(context, buffer, index, length);
  }

  @Override
  protected void handlerRemoved0(ChannelHandlerContext context) {
    release();
  }

  private void release() {
    memory.release(reservedBytes);
    reservedBytes = 0;
  }
}
