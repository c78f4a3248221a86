package org.guavathread.core.sheet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Merges the parts of a sheet and maps JSON pointers of the merged document back to the part they come from. */
final class PartMerger {

    private final ObjectNode merged;
    private final List<SheetFault> faults;
    private final Map<String, String> partsByField = new HashMap<>();
    private final Map<String, TreeMap<Integer, String>> partsByOffset = new HashMap<>();

    PartMerger(ObjectNode merged, List<SheetFault> faults) {
        this.merged = merged;
        this.faults = faults;
    }

    ObjectNode merged() {
        return merged;
    }

    void add(String part, JsonNode document) {
        document.fields().forEachRemaining(field -> {
            String name = field.getKey();
            JsonNode value = field.getValue();
            JsonNode existing = merged.get(name);
            if (value.isArray() && (existing == null || existing.isArray())) {
                ArrayNode list = existing == null ? merged.putArray(name) : (ArrayNode) existing;
                if (!value.isEmpty()) {
                    partsByOffset.computeIfAbsent(name, n -> new TreeMap<>()).put(list.size(), part);
                }
                value.forEach(list::add);
            } else if (existing == null) {
                merged.set(name, value);
                partsByField.put(name, part);
            } else if (!name.equals("version")) {
                faults.add(new SheetFault(
                        part + "#/" + name,
                        "The field \"" + name + "\" stands in another part already; only lists may stand in several."));
            }
        });
    }

    SheetFault locate(SheetFault fault) {
        String[] segments = fault.pointer().split("/", 4);
        if (segments.length < 2) {
            return fault;
        }
        TreeMap<Integer, String> offsets = partsByOffset.get(segments[1]);
        if (offsets == null || segments.length < 3 || !segments[2].matches("[0-9]{1,9}")) {
            String part = partsByField.get(segments[1]);
            return part == null ? fault : new SheetFault(part + "#" + fault.pointer(), fault.message());
        }
        int index = Integer.parseInt(segments[2]);
        Map.Entry<Integer, String> partAtOffset = offsets.floorEntry(index);
        String rest = segments.length > 3 ? "/" + segments[3] : "";
        String pointer = partAtOffset.getValue() + "#/" + segments[1] + "/" + (index - partAtOffset.getKey()) + rest;
        return new SheetFault(pointer, fault.message());
    }
}
