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
 * Reads layouts from JSON files. A layout has {@code version}, {@code keys} and {@code folios} (its
 * partitions). Each partition has {@code id}, {@code slices} (key ranges as first key, key after
 * the last, weight), {@code holders} and, while it is being moved, {@code source} and {@code
 * successor}.
 */
final class LayoutFile {
  private LayoutFile() {}

  static Layout read(Path file) throws IOException {
    byte[] json = Files.readAllBytes(file);
    String location = "";
    try {
      Map<String, Object> root = JsonFields.object(Json.parse(json), "the layout");
      List<Partition> partitions = new ArrayList<>();
      for (Object element : JsonFields.list(root, "folios")) {
        location = "folios." + partitions.size() + ": ";
        partitions.add(partition(JsonFields.object(element, "the folio")));
      }
      location = "";
      return Layout.of(
          JsonFields.nonNegativeInteger(root, "version"),
          JsonFields.nonNegativeInteger(root, "keys"),
          partitions);
    } catch (Json.JsonException | LayoutException | IllegalArgumentException e) {
      throw new IOException(file + ": " + location + e.getMessage());
    }
  }

  private static Partition partition(Map<String, Object> object) throws Json.JsonException {
    List<KeyRange> ranges = new ArrayList<>();
    for (Object element : JsonFields.list(object, "slices")) {
      if (!(element instanceof List<?> range)
          || range.size() != 3
          || !(range.get(0) instanceof Double firstKey)
          || !(range.get(1) instanceof Double endKey)
          || !(range.get(2) instanceof Double weight)
          || firstKey != Math.rint(firstKey)
          || endKey != Math.rint(endKey)) {
        throw new Json.JsonException("a slice must be [first key, key after the last, weight]");
      }
      ranges.add(new KeyRange(firstKey.longValue(), endKey.longValue(), weight));
    }
    List<BoxId> holders = new ArrayList<>();
    for (Object element : JsonFields.list(object, "holders")) {
      if (!(element instanceof String name) || name.isEmpty()) {
        throw new Json.JsonException("a holder is a name");
      }
      holders.add(new BoxId(name));
    }
    return new Partition(
        new PartitionId((int) JsonFields.nonNegativeInteger(object, "id")),
        ranges,
        holders,
        optionalBox(object, "source"),
        optionalBox(object, "successor"));
  }

  private static BoxId optionalBox(Map<String, Object> object, String key)
      throws Json.JsonException {
    return object.containsKey(key) ? new BoxId(JsonFields.string(object, key)) : null;
  }
}
