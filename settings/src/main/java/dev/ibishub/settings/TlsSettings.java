package dev.ibishub.settings;

/**
 * Key files for TLS between the project's processes.
 *
 * @param certificateFile the process's own certificate chain, in PEM
 * @param keyFile the private key of the certificate, in PEM
 * @param trustFile the certificates that peers' certificates must lead to, in PEM
 */
public record TlsSettings(String certificateFile, String keyFile, String trustFile) {
  static TlsSettings of(Section section) {
    return new TlsSettings(
        section.text("certificateFile"), section.text("keyFile"), section.text("trustFile"));
  }
}
