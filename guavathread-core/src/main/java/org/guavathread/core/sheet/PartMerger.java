package org.guavathread.core.sheet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Joins the parts of a sheet and translates pointers into the joined document back to the part. */
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
            JsonNode present = merged.get(name);
            if (value.isArray() && (present == null || present.isArray())) {
                ArrayNode list = present == null ? merged.putArray(name) : (ArrayNode) present;
                if (!value.isEmpty()) {
                    partsByOffset.computeIfAbsent(name, n -> new TreeMap<>()).put(list.size(), part);
                }
                value.forEach(list::add);
            } else if (present == null) {
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
        String[] steps = fault.pointer().split("/", 4);
        if (steps.length < 2) {
            return fault;
        }
        TreeMap<Integer, String> offsets = partsByOffset.get(steps[1]);
        if (offsets == null || steps.length < 3 || !steps[2].matches("[0-9]{1,9}")) {
            String part = partsByField.get(steps[1]);
            return part == null ? fault : new SheetFault(part + "#" + fault.pointer(), fault.message());
        }
        int index = Integer.parseInt(steps[2]);
        Map.Entry<Integer, String> start = offsets.floorEntry(index);
        String rest = steps.length > 3 ? "/" + steps[3] : "";
        String pointer = start.getValue() + "#/" + steps[1] + "/" + (index - start.getKey()) + rest;
        return new SheetFault(pointer, fault.message());
    }
}
