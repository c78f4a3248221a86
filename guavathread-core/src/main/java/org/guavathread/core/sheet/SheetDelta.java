package org.guavathread.core.sheet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Encodes the difference between two versions of the sheet: the added and changed entries and the names of the removed
 * ones. With 14,000 workspaces a sheet is over 2 MB, while a delta is a few hundred bytes.
 *
 * <pre>{@code
 * byte[] delta = SheetDelta.between(v41, v42);
 * SheetReadResult result = SheetDelta.apply(v41, List.of(delta));   // equals v42
 * }</pre>
 */
public final class SheetDelta {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<String> LISTS =
            List.of("dataCentres", "hosts", "workspaces", "models", "backendServers", "routes");

    private SheetDelta() {}

    /**
     * Computes the delta between two sheets.
     *
     * @param before the old sheet
     * @param after the new sheet
     * @return the delta as JSON in UTF-8
     */
    public static byte[] between(Sheet before, Sheet after) {
        ObjectNode old = SheetWriter.tree(before);
        ObjectNode now = SheetWriter.tree(after);
        ObjectNode delta = JSON.createObjectNode();
        ObjectNode fields = delta.putObject("fields");
        now.fields().forEachRemaining(field -> {
            if (!field.getValue().isArray()) {
                fields.set(field.getKey(), field.getValue());
            }
        });
        for (String list : LISTS) {
            Map<String, JsonNode> oldEntries = byId(old.get(list));
            Map<String, JsonNode> newEntries = byId(now.get(list));
            ArrayNode set = JSON.createArrayNode();
            ArrayNode remove = JSON.createArrayNode();
            newEntries.forEach((id, entry) -> {
                if (!entry.equals(oldEntries.get(id))) {
                    set.add(entry);
                }
            });
            oldEntries.keySet().stream()
                    .filter(id -> !newEntries.containsKey(id))
                    .forEach(remove::add);
            if (!set.isEmpty() || !remove.isEmpty()) {
                ObjectNode change = delta.putObject(list);
                change.set("set", set);
                change.set("remove", remove);
            }
        }
        try {
            return JSON.writeValueAsBytes(delta);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(
                    "The delta to sheet " + after.version() + " could not be written as JSON.", e);
        }
    }

    /**
     * Applies deltas in sequence.
     *
     * @param base the sheet to start from
     * @param deltas the deltas, oldest first
     * @return the resulting sheet or its faults; it is validated like any other; the caller compares its digest
     */
    public static SheetReadResult apply(Sheet base, List<byte[]> deltas) {
        ObjectNode tree = SheetWriter.tree(base);
        try {
            for (byte[] bytes : deltas) {
                applyOne(tree, JSON.readTree(bytes));
            }
        } catch (IOException e) {
            String message = "A delta from sheet " + base.version() + " is not valid JSON; fetch the whole sheet.";
            return new SheetReadResult.Invalid(0, List.of(new SheetFault("", message)));
        }
        return SheetReader.readSheet(tree, new ArrayList<>());
    }

    private static void applyOne(ObjectNode tree, JsonNode delta) {
        tree.remove("publishedAt");
        delta.path("fields").fields().forEachRemaining(field -> tree.set(field.getKey(), field.getValue()));
        for (String list : LISTS) {
            JsonNode change = delta.path(list);
            if (change.isMissingNode()) {
                continue;
            }
            Map<String, JsonNode> entries = byId(tree.get(list));
            change.path("remove").forEach(id -> entries.remove(id.asText()));
            entries.putAll(byId(change.path("set")));
            ArrayNode array = JSON.createArrayNode();
            entries.values().forEach(array::add);
            tree.set(list, array);
        }
    }

    private static Map<String, JsonNode> byId(JsonNode list) {
        Map<String, JsonNode> entries = new LinkedHashMap<>();
        list.forEach(entry -> entries.put(entry.path("id").asText(), entry));
        return entries;
    }
}
