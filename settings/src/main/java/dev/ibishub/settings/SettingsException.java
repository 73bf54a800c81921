package dev.ibishub.settings;

import java.util.List;
import java.util.stream.Collectors;

/** All that is wrong with a file or a set of files, in one answer. */
public final class SettingsException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient List<Fault> faults;

  /**
   * Creates a failure.
   *
   * @param faults what is wrong, in the order of the files
   */
  public SettingsException(List<Fault> faults) {
    super(faults.stream().map(Fault::toString).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  public List<Fault> faults() {
    return faults;
  }
}
