package org.guavathread.core.sheet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads the fields of one JSON object and records a fault for each field that is missing, unknown or malformed.
 * A method that records a fault returns null, an empty list or the minimum or default value; {@link #isValid} returns
 * whether this object is free of faults.
 */
final class JsonFields {

    private static final int MAX_SHOWN_CHARS = 80;

    private final JsonNode node;
    private final String pointer;
    private final List<SheetFault> faults;
    private final int faultsAtStart;
    private final Set<String> known = new LinkedHashSet<>();

    JsonFields(JsonNode node, String pointer, List<SheetFault> faults) {
        this.node = node;
        this.pointer = pointer;
        this.faults = faults;
        this.faultsAtStart = faults.size();
        if (!node.isObject()) {
            addFault(pointer, describe(node) + " stands where an object { } is expected; write one.");
        }
    }

    boolean isObject() {
        return node.isObject();
    }

    boolean isValid() {
        return faults.size() == faultsAtStart;
    }

    boolean has(String name) {
        return node.has(name);
    }

    String pointer() {
        return pointer;
    }

    String pointerTo(String name) {
        return pointer + "/" + name.replace("~", "~0").replace("/", "~1");
    }

    void addFault(String faultPointer, String message) {
        faults.add(new SheetFault(faultPointer, message));
    }

    String text(String name) {
        JsonNode value = required(name, "a text");
        if (value == null) {
            return null;
        }
        if (!value.isTextual() || value.textValue().isBlank()) {
            addFault(pointerTo(name), describe(value) + " is not a text of visible characters; write one in quotes.");
            return null;
        }
        return value.textValue();
    }

    String text(String name, String defaultValue) {
        known.add(name);
        return has(name) ? text(name) : defaultValue;
    }

    long number(String name, long min, long max) {
        JsonNode value = required(name, "a whole number from " + min + " to " + max);
        if (value == null) {
            return min;
        }
        if (!value.isIntegralNumber()) {
            addFault(
                    pointerTo(name),
                    describe(value) + " is not a whole number; write one from " + min + " to " + max + ".");
            return min;
        }
        if (!value.canConvertToLong() || value.longValue() < min || value.longValue() > max) {
            addFault(
                    pointerTo(name),
                    value.asText() + " is out of range; write a whole number from " + min + " to " + max + ".");
            return min;
        }
        return value.longValue();
    }

    long number(String name, long min, long max, long defaultValue) {
        known.add(name);
        return has(name) ? number(name, min, max) : defaultValue;
    }

    boolean flag(String name, boolean defaultValue) {
        known.add(name);
        if (!has(name)) {
            return defaultValue;
        }
        JsonNode value = node.get(name);
        if (!value.isBoolean()) {
            addFault(
                    pointerTo(name), describe(value) + " is neither true nor false; write one of them without quotes.");
            return defaultValue;
        }
        return value.booleanValue();
    }

    <E extends Enum<E>> E choice(String name, Class<E> type) {
        String written = text(name);
        if (written == null) {
            return null;
        }
        List<String> words = new ArrayList<>();
        for (E constant : type.getEnumConstants()) {
            String word = constant.name().toLowerCase(Locale.ROOT);
            if (word.equals(written)) {
                return constant;
            }
            words.add(word);
        }
        addFault(
                pointerTo(name),
                quote(written) + " is not one of " + String.join(", ", words)
                        + NearestName.suggestion(written.toLowerCase(Locale.ROOT), words));
        return null;
    }

    <E extends Enum<E>> E choice(String name, Class<E> type, E defaultValue) {
        known.add(name);
        return has(name) ? choice(name, type) : defaultValue;
    }

    /** Parses a text field; the message of an IllegalArgumentException from the parser becomes the fault. */
    <T> T parsed(String name, Function<String, T> parser) {
        String written = text(name);
        if (written == null) {
            return null;
        }
        try {
            return parser.apply(written);
        } catch (IllegalArgumentException e) {
            addFault(pointerTo(name), e.getMessage());
            return null;
        }
    }

    String reference(String name, String entryKind, Collection<String> listedNames) {
        String referencedName = text(name);
        if (referencedName != null) {
            requireListed(pointerTo(name), referencedName, entryKind, listedNames);
        }
        return referencedName;
    }

    List<String> references(String name, String entryKind, Collection<String> listedNames) {
        List<String> result = new ArrayList<>();
        int index = 0;
        for (JsonNode element : optionalList(name)) {
            String elementPointer = pointerTo(name) + "/" + index++;
            if (!element.isTextual()) {
                addFault(
                        elementPointer,
                        describe(element) + " is not the name of a " + entryKind + "; write it in quotes.");
            } else if (result.contains(element.textValue())) {
                addFault(
                        elementPointer, quote(element.textValue()) + " stands in this list twice; remove one of them.");
            } else {
                requireListed(elementPointer, element.textValue(), entryKind, listedNames);
                result.add(element.textValue());
            }
        }
        return result;
    }

    private void requireListed(String valuePointer, String name, String entryKind, Collection<String> listedNames) {
        if (!listedNames.contains(name)) {
            String hint = NearestName.suggestion(name, listedNames);
            addFault(
                    valuePointer,
                    quote(name) + " is not the name of a " + entryKind + " in this sheet"
                            + (hint.isEmpty() ? "; list it or write the name of a listed one." : hint));
        }
    }

    Iterable<JsonNode> list(String name) {
        JsonNode value = required(name, "a list");
        return value == null ? List.of() : optionalList(name);
    }

    Iterable<JsonNode> optionalList(String name) {
        known.add(name);
        JsonNode value = node.get(name);
        if (value == null) {
            return List.of();
        }
        if (!value.isArray()) {
            addFault(pointerTo(name), describe(value) + " is not a list; write its elements in [ ].");
            return List.of();
        }
        return value;
    }

    JsonFields object(String name) {
        known.add(name);
        return has(name) ? new JsonFields(node.get(name), pointerTo(name), faults) : null;
    }

    /** Records a fault for each field that was not read through one of the other methods. */
    void rejectUnknown() {
        node.fieldNames().forEachRemaining(name -> {
            if (!known.contains(name)) {
                String hint = NearestName.suggestion(name, known);
                addFault(
                        pointerTo(name),
                        quote(name) + " is not a field of this object"
                                + (hint.isEmpty()
                                        ? "; remove it or use one of " + String.join(", ", known) + "."
                                        : hint));
            }
        });
    }

    private JsonNode required(String name, String expected) {
        known.add(name);
        if (!node.isObject()) {
            return null;
        }
        JsonNode value = node.get(name);
        if (value == null) {
            addFault(pointerTo(name), "The field \"" + name + "\" is missing; add " + expected + ".");
        }
        return value;
    }

    static String quote(String text) {
        return "\"" + (text.length() > MAX_SHOWN_CHARS ? text.substring(0, MAX_SHOWN_CHARS) + "…" : text) + "\"";
    }

    static String describe(JsonNode value) {
        if (value.isObject()) {
            return "An object";
        }
        if (value.isArray()) {
            return "A list";
        }
        return value.isTextual() ? quote(value.textValue()) : value.toString();
    }
}
