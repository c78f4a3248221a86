package org.guavathread.core.sheet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.guavathread.core.sheet.SheetChange.Kind;
import org.guavathread.core.sheet.SheetChange.Subject;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Lists the differences between two sheets, for the audit trail and the operators' client. It compares the canonical
 * JSON forms, so that every field is covered.
 *
 * <pre>{@code
 * SheetDiff.between(inForce, next).forEach(change -> log.info(change));
 * }</pre>
 */
public final class SheetDiff {

    private SheetDiff() {}

    /**
     * Compares two sheets. A different version is not listed as a change.
     *
     * @param before the old sheet
     * @param after the new sheet
     * @return the changes, ordered by kind of entry; empty if only the version differs
     */
    public static List<SheetChange> between(Sheet before, Sheet after) {
        JsonNode old = SheetWriter.tree(before);
        JsonNode now = SheetWriter.tree(after);
        List<SheetChange> changes = new ArrayList<>();
        addFieldChange(changes, Subject.SHEET, "", "publishedAt", old, now);
        addFieldChange(changes, Subject.SHEET, "", "retentionSeconds", old.get("claims"), now.get("claims"));
        for (Subject subject : Subject.values()) {
            if (!subject.listField().isEmpty()) {
                addEntryChanges(
                        changes, subject, byId(old.get(subject.listField())), byId(now.get(subject.listField())));
            }
        }
        return changes;
    }

    /**
     * Returns whether the newer sheet starts a new host epoch.
     *
     * @param before the old sheet
     * @param after the new sheet
     * @return true if the sets of active hosts differ, or a host that stays active moves to another data centre or
     *     region, since owners are chosen by both
     */
    public static boolean startsEpoch(Sheet before, Sheet after) {
        return !activeHosts(before).equals(activeHosts(after));
    }

    private static Map<String, String> activeHosts(Sheet sheet) {
        Map<String, String> locations = new LinkedHashMap<>();
        for (Host host : sheet.activeHosts()) {
            String region =
                    sheet.regionOf(host.dataCentre()).map(Object::toString).orElse("");
            locations.put(host.id().value(), host.dataCentre() + " " + region);
        }
        return locations;
    }

    private static void addEntryChanges(
            List<SheetChange> changes, Subject subject, Map<String, JsonNode> old, Map<String, JsonNode> now) {
        old.forEach((name, entry) -> {
            if (!now.containsKey(name)) {
                changes.add(new SheetChange(Kind.REMOVED, subject, name, "", "", ""));
                addKeyChanges(changes, name, entry, null);
            }
        });
        now.forEach((name, entry) -> {
            JsonNode previous = old.get(name);
            if (previous == null) {
                changes.add(new SheetChange(Kind.ADDED, subject, name, "", "", ""));
            } else {
                addFieldChanges(changes, subject, name, previous, entry);
            }
            addKeyChanges(changes, name, previous, entry);
        });
    }

    private static void addFieldChanges(
            List<SheetChange> changes, Subject subject, String name, JsonNode previous, JsonNode entry) {
        Map<String, Boolean> names = new LinkedHashMap<>();
        previous.fieldNames().forEachRemaining(field -> names.put(field, true));
        entry.fieldNames().forEachRemaining(field -> names.put(field, true));
        names.keySet().stream()
                .filter(field -> !field.equals("keys"))
                .forEach(field -> addFieldChange(changes, subject, name, field, previous, entry));
    }

    private static void addFieldChange(
            List<SheetChange> changes, Subject subject, String name, String field, JsonNode old, JsonNode now) {
        JsonNode before = old.path(field);
        JsonNode after = now.path(field);
        if (!before.equals(after)) {
            changes.add(new SheetChange(Kind.CHANGED, subject, name, field, displayText(before), displayText(after)));
        }
    }

    private static void addKeyChanges(List<SheetChange> changes, String workspace, JsonNode old, JsonNode now) {
        List<String> before = hashes(old);
        List<String> after = hashes(now);
        for (String hash : before) {
            if (!after.contains(hash)) {
                changes.add(new SheetChange(Kind.REMOVED, Subject.API_KEY, workspace, "", hash, ""));
            }
        }
        for (String hash : after) {
            if (!before.contains(hash)) {
                changes.add(new SheetChange(Kind.ADDED, Subject.API_KEY, workspace, "", "", hash));
            }
        }
    }

    private static List<String> hashes(JsonNode workspace) {
        List<String> hashes = new ArrayList<>();
        if (workspace != null) {
            workspace.path("keys").forEach(key -> hashes.add(key.path("hash").asText()));
        }
        return hashes;
    }

    private static Map<String, JsonNode> byId(JsonNode list) {
        Map<String, JsonNode> entries = new LinkedHashMap<>();
        list.forEach(entry -> entries.put(entry.get("id").textValue(), entry));
        return entries;
    }

    private static String displayText(JsonNode value) {
        if (value.isMissingNode()) {
            return "(none)";
        }
        return value.isTextual() ? value.textValue() : value.toString();
    }
}
