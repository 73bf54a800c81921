package dev.ibishub.settings;

/**
 * Certificate and key files for TLS between ibishub processes.
 *
 * @param certificateFile the process's own certificate chain, in PEM
 * @param keyFile the private key of the certificate, in PEM
 * @param trustFile the trust anchors of peers' certificate chains, in PEM
 */
public record TlsSettings(String certificateFile, String keyFile, String trustFile) {
  static TlsSettings of(Section section) {
    return new TlsSettings(
        section.text("certificateFile"), section.text("keyFile"), section.text("trustFile"));
  }
}
