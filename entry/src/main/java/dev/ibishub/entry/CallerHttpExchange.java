package dev.ibishub.entry;

import com.google.common.flogger.FluentLogger;
import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpContext;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpPrincipal;
import dev.ibishub.gateway.callers.CallerExchange;
import dev.ibishub.gateway.callers.CallerResponse;
import dev.ibishub.runtime.LogEvent;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.BufferedOutputStream;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Arrays;
import java.util.OptionalLong;
import java.util.concurrent.Executor;

/**
 * One request on a caller's connection, as the endpoints of ibishub's own interface handle it. In
 * contrast to the exchanges of the JDK's server it tells when the caller has left. Endpoints run on
 * a thread of an executor, where writing blocks while the caller reads slowly; the methods of
 * {@link CallerExchange} run on the connection's event loop. One thread at a time may write the
 * response; all else is thread-safe.
 */
final class CallerHttpExchange extends HttpExchange implements CallerExchange {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Channel channel;
  private final InetSocketAddress caller;
  private final URI uri;
  private final String method;
  private final String protocol;
  private final byte[] body;
  private final HttpHandler handler;
  private final Executor threads;
  private final Runnable onDone;
  private final CallerResponse response;
  private final Headers requestHeaders = new Headers();
  private final Headers responseHeaders = new Headers();
  private final ResponseBody responseBody = new ResponseBody();
  private final OutputStream bufferedBody = new BufferedOutputStream(responseBody);
  private int status = -1;
  private Runnable disconnectListener = () -> {};
  private boolean isGone;
  private boolean isDone;

  /**
   * Creates an exchange, and releases the request.
   *
   * @param handler handles the request, and may return before the exchange is closed
   * @param threads runs the handler
   * @param onDone called when the response was written or aborted
   */
  CallerHttpExchange(
      Channel channel,
      FullHttpRequest request,
      URI uri,
      HttpHandler handler,
      Executor threads,
      Runnable onDone) {
    this.channel = channel;
    this.caller = (InetSocketAddress) channel.remoteAddress();
    this.uri = uri;
    this.method = request.method().name();
    this.protocol = request.protocolVersion().text();
    this.body = ByteBufUtil.getBytes(request.content());
    this.handler = handler;
    this.threads = threads;
    this.onDone = onDone;
    this.response = new CallerResponse(channel, request, () -> false);
    request.headers().forEach(header -> requestHeaders.add(header.getKey(), header.getValue()));
    request.release();
  }

  @Override
  public void start() {
    threads.execute(this::handle);
  }

  @Override
  public synchronized void onWritable(boolean writable) {
    notifyAll();
  }

  @Override
  public void onCallerGone() {
    Runnable listener;
    synchronized (this) {
      isGone = true;
      listener = disconnectListener;
      notifyAll();
    }
    threads.execute(listener);
    end(response::abort);
  }

  @Override
  public boolean closesConnection() {
    return response.isLast();
  }

  /**
   * Sets what is run once if the caller disconnects before the response is complete; runs it now if
   * the caller has disconnected already.
   */
  void onDisconnect(Runnable listener) {
    synchronized (this) {
      if (!isGone) {
        disconnectListener = listener;
        return;
      }
    }
    listener.run();
  }

  @Override
  public Headers getRequestHeaders() {
    return requestHeaders;
  }

  @Override
  public Headers getResponseHeaders() {
    return responseHeaders;
  }

  @Override
  public URI getRequestURI() {
    return uri;
  }

  @Override
  public String getRequestMethod() {
    return method;
  }

  @Override
  public InputStream getRequestBody() {
    return new ByteArrayInputStream(body);
  }

  @Override
  public OutputStream getResponseBody() {
    return bufferedBody;
  }

  /**
   * Writes the head of the response.
   *
   * @param length length of the body in bytes, 0 if it isn't known, -1 if there is none
   */
  @Override
  public void sendResponseHeaders(int code, long length) throws IOException {
    status = code;
    HttpHeaders headers = new DefaultHttpHeaders();
    responseHeaders.forEach(headers::set);
    if (length < 0 || method.equals("HEAD")) {
      var unused = response.writeWhole(code, headers, new byte[0]);
      return;
    }
    responseBody.expectedBytes = length;
    response.writeHead(code, headers, length == 0 ? OptionalLong.empty() : OptionalLong.of(length));
  }

  /** Completes the response, or closes the connection if the response is incomplete. */
  @Override
  public void close() {
    end(this::complete);
  }

  @Override
  public InetSocketAddress getRemoteAddress() {
    return caller;
  }

  @Override
  public int getResponseCode() {
    return status;
  }

  @Override
  public InetSocketAddress getLocalAddress() {
    return (InetSocketAddress) channel.localAddress();
  }

  @Override
  public String getProtocol() {
    return protocol;
  }

  @Override
  public HttpContext getHttpContext() {
    throw new UnsupportedOperationException("exchanges of this server have no context");
  }

  @Override
  public Object getAttribute(String name) {
    return null;
  }

  @Override
  public void setAttribute(String name, Object value) {
    throw new UnsupportedOperationException("exchanges of this server have no attributes");
  }

  @Override
  public void setStreams(InputStream input, OutputStream output) {
    throw new UnsupportedOperationException("exchanges of this server have no filters");
  }

  @Override
  public HttpPrincipal getPrincipal() {
    return null;
  }

  private void handle() {
    try {
      handler.handle(this);
    } catch (IOException e) {
      // The caller has disconnected.
      end(response::abort);
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("%s", LogEvent.of("endpoint.failed").with("path", uri));
      end(response::abort);
    }
  }

  private void end(Runnable lastWrite) {
    synchronized (this) {
      if (isDone) {
        return;
      }
      isDone = true;
    }
    lastWrite.run();
    onDone.run();
  }

  private void complete() {
    try {
      bufferedBody.flush();
    } catch (IOException e) {
      response.abort();
      return;
    }
    if (status < 0 || responseBody.isIncomplete()) {
      response.abort();
    } else if (responseBody.expectedBytes >= 0) {
      response.finish();
    }
  }

  /** Blocks until more can be written; fails if the caller has disconnected. */
  private synchronized void awaitWritable() throws IOException {
    try {
      while (!isGone && channel.isActive() && !channel.isWritable()) {
        wait();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while the caller reads slowly", e);
    }
    if (isGone || !channel.isActive()) {
      throw new IOException("the caller has disconnected");
    }
  }

  /** Writes the pieces of the response's body; nothing for a response without one. */
  private final class ResponseBody extends OutputStream {
    private long expectedBytes = -1;
    private long writtenBytes;

    @Override
    public void write(int value) throws IOException {
      write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
      if (expectedBytes < 0) {
        return;
      }
      awaitWritable();
      response.writePiece(Arrays.copyOfRange(bytes, offset, offset + length));
      writtenBytes += length;
    }

    private boolean isIncomplete() {
      return expectedBytes > 0 && writtenBytes != expectedBytes;
    }
  }
}
