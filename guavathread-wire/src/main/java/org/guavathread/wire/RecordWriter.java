package org.guavathread.wire;

import java.io.IOException;
import java.lang.reflect.Method;
import java.lang.reflect.Type;
import java.util.List;
import java.util.Optional;

import org.msgpack.core.MessagePacker;

/**
 * Encodes records as MessagePack by reflection: a record is an array of its components, a record with a single
 * component is written as that component alone, an enum is written as its name, an empty optional as nil.
 *
 * <p>Uses reflection rather than method handles: each handle's adaptation defines a class when a process starts.
 */
final class RecordWriter {

    private RecordWriter() {}

    static void write(MessagePacker packer, Object value, Type type) throws IOException {
        Class<?> raw = RecordLayout.rawClass(type);
        if (raw == Optional.class) {
            writeOptional(packer, (Optional<?>) value, RecordLayout.typeArgument(type));
        } else if (raw == List.class) {
            writeList(packer, (List<?>) value, RecordLayout.typeArgument(type));
        } else if (raw.isRecord()) {
            writeRecord(packer, value, raw);
        } else {
            writeScalar(packer, value, raw);
        }
    }

    private static void writeOptional(MessagePacker packer, Optional<?> value, Type inner) throws IOException {
        if (value.isEmpty()) {
            packer.packNil();
        } else {
            write(packer, value.get(), inner);
        }
    }

    private static void writeList(MessagePacker packer, List<?> values, Type inner) throws IOException {
        packer.packArrayHeader(values.size());
        for (Object value : values) {
            write(packer, value, inner);
        }
    }

    private static void writeRecord(MessagePacker packer, Object value, Class<?> raw) throws IOException {
        RecordLayout layout = RecordLayout.of(raw);
        int size = layout.types().size();
        if (size != 1) {
            packer.packArrayHeader(size);
        }
        for (int i = 0; i < size; i++) {
            write(packer, get(layout.getters().get(i), value), layout.types().get(i));
        }
    }

    private static void writeScalar(MessagePacker packer, Object value, Class<?> raw) throws IOException {
        if (raw == long.class || raw == int.class) {
            packer.packLong(((Number) value).longValue());
        } else if (raw == double.class) {
            packer.packDouble((Double) value);
        } else if (raw == boolean.class) {
            packer.packBoolean((Boolean) value);
        } else if (raw == String.class) {
            packer.packString((String) value);
        } else if (raw == byte[].class) {
            byte[] bytes = (byte[]) value;
            packer.packBinaryHeader(bytes.length).writePayload(bytes);
        } else if (raw.isEnum()) {
            packer.packString(((Enum<?>) value).name());
        } else {
            throw new CodecException(
                    raw.getName() + " has no wire encoding; use a record, number, string, list or enum.");
        }
    }

    private static Object get(Method getter, Object value) {
        try {
            return getter.invoke(value);
        } catch (ReflectiveOperationException e) {
            throw new CodecException("A component of " + value.getClass().getSimpleName() + " cannot be read.", e);
        }
    }
}
