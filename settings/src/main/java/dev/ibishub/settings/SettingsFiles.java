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

/** Reading a settings file of one program. */
final class SettingsFiles {
  private SettingsFiles() {}

  static String text(Path path) {
    try {
      return Files.readString(path);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot read the settings file " + path, e);
    }
  }

  /**
   * Checks a text and makes settings of it.
   *
   * @param check adds faults that show only when several keys are seen together
   * @throws SettingsException with all that is wrong
   */
  static <T> T parse(
      String file,
      String text,
      ObjectSchema schema,
      BiConsumer<Section, List<Fault>> check,
      Function<Section, T> make) {
    List<Fault> faults = new ArrayList<>();
    Optional<Section> root = SchemaReader.read(file, text, schema, faults);
    root.ifPresent(section -> check.accept(section, faults));
    if (!faults.isEmpty()) {
      throw new SettingsException(faults);
    }
    return make.apply(root.orElseThrow());
  }
}
