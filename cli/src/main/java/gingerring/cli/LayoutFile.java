package gingerring.cli;

import gingerring.json.Json;
import gingerring.json.JsonFields;
import gingerring.layout.BoxId;
import gingerring.layout.KeyRange;
import gingerring.layout.Layout;
import gingerring.layout.LayoutException;
import gingerring.layout.Partition;
import gingerring.layout.PartitionId;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Layouts in files, as JSON: {@code version}, {@code keys}, and {@code folios} with {@code id},
 * {@code slices} (first key, the key after the last, weight), {@code holders}, and while it moves
 * {@code source} and {@code successor}.
 */
final class LayoutFile {
  private LayoutFile() {}

  static Layout read(Path file) throws IOException {
    byte[] json = Files.readAllBytes(file);
    String place = "";
    try {
      Map<String, Object> object = JsonFields.object(Json.parse(json), "the layout");
      List<Partition> folios = new ArrayList<>();
      for (Object each : JsonFields.list(object, "folios")) {
        place = "folios." + folios.size() + ": ";
        folios.add(folio(JsonFields.object(each, "it")));
      }
      place = "";
      return Layout.of(
          JsonFields.nonNegativeInteger(object, "version"),
          JsonFields.nonNegativeInteger(object, "keys"),
          folios);
    } catch (Json.JsonException | LayoutException | IllegalArgumentException e) {
      throw new IOException(file + ": " + place + e.getMessage());
    }
  }

  private static Partition folio(Map<String, Object> from) throws Json.JsonException {
    List<KeyRange> slices = new ArrayList<>();
    for (Object each : JsonFields.list(from, "slices")) {
      if (!(each instanceof List<?> slice)
          || slice.size() != 3
          || !(slice.get(0) instanceof Double low)
          || !(slice.get(1) instanceof Double high)
          || !(slice.get(2) instanceof Double weight)
          || low != Math.rint(low)
          || high != Math.rint(high)) {
        throw new Json.JsonException(
            "a slice is its first key, the key after its last, and its weight");
      }
      slices.add(new KeyRange(low.longValue(), high.longValue(), weight));
    }
    List<BoxId> holders = new ArrayList<>();
    for (Object each : JsonFields.list(from, "holders")) {
      if (!(each instanceof String name) || name.isEmpty()) {
        throw new Json.JsonException("a holder is a name");
      }
      holders.add(new BoxId(name));
    }
    return new Partition(
        new PartitionId((int) JsonFields.nonNegativeInteger(from, "id")),
        slices,
        holders,
        box(from, "source"),
        box(from, "successor"));
  }

  private static BoxId box(Map<String, Object> from, String name) throws Json.JsonException {
    return from.containsKey(name) ? new BoxId(JsonFields.string(from, name)) : null;
  }
}
