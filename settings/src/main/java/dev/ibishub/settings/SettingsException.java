package dev.ibishub.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown with all faults of an invalid file or set of files. */
public final class SettingsException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient List<Fault> faults;

  /**
   * Creates an exception.
   *
   * @param faults the faults, in the order of the files
   */
  public SettingsException(List<Fault> faults) {
    super(faults.stream().map(Fault::toString).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  public List<Fault> faults() {
    return faults;
  }
}
