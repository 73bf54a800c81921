package dev.ibishub.wire;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.nio.file.Path;
import javax.net.ssl.SSLException;

/**
 * TLS contexts of this process, for mutual TLS: each side of a link presents a certificate and
 * verifies the other's against the trust file.
 *
 * @param server used for accepted links
 * @param client used for opened links
 */
public record TlsContexts(SslContext server, SslContext client) {
  /**
   * Reads the certificates and the key from PEM files.
   *
   * @param certificate certificate chain of this process
   * @param key private key of the certificate, in PKCS #8
   * @param trust certificates of the authorities that peers' chains must lead to
   * @throws IllegalArgumentException if a file does not hold valid certificates or a valid key
   * @throws SSLException if a context cannot be created from them
   */
  public static TlsContexts read(Path certificate, Path key, Path trust) throws SSLException {
    SslContext server =
        SslContextBuilder.forServer(certificate.toFile(), key.toFile())
            .trustManager(trust.toFile())
            .clientAuth(ClientAuth.REQUIRE)
            .build();
    // The IP addresses of peers change nightly, so the names in a certificate cannot be checked
    // against them. The trust file names only ibishub's own certificate authority.
    SslContext client =
        SslContextBuilder.forClient()
            .keyManager(certificate.toFile(), key.toFile())
            .trustManager(trust.toFile())
            .endpointIdentificationAlgorithm(null)
            .build();
    return new TlsContexts(server, client);
  }
}
