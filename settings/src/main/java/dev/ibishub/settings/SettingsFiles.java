package dev.ibishub.settings;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Function;

/** Reader of settings files. */
final class SettingsFiles {
  private SettingsFiles() {}

  static String read(Path path) {
    try {
      return Files.readString(path);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot read the settings file " + path, e);
    }
  }

  /**
   * Parses and validates a text and converts it to settings.
   *
   * @param check adds faults that involve several keys; called only if each key is valid
   * @throws SettingsException with all faults
   */
  static <T> T parse(
      String file,
      String text,
      ObjectSchema schema,
      BiConsumer<Section, List<Fault>> check,
      Function<Section, T> convert) {
    List<Fault> faults = new ArrayList<>();
    Optional<Section> root = SchemaReader.read(file, text, schema, faults);
    root.ifPresent(section -> check.accept(section, faults));
    if (!faults.isEmpty()) {
      throw new SettingsException(faults);
    }
    return convert.apply(root.orElseThrow());
  }
}
