package org.guavathread.core.publish;

/**
 * An item of the store, not decoded.
 *
 * @param key its key
 * @param revision the store's revision at its last change
 * @param value its bytes; empty if it was deleted
 * @param isDeleted whether it was deleted at this revision
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreItem(String key, long revision, byte[] value, boolean isDeleted) {

    /**
     * Returns an item with a value.
     *
     * @param key its key
     * @param revision its revision
     * @param value its bytes
     * @return the item
     */
    public static StoreItem stored(String key, long revision, byte[] value) {
        return new StoreItem(key, revision, value, false);
    }

    /**
     * Returns the tombstone of a deleted item.
     *
     * @param key its key
     * @param revision the revision of the deletion
     * @return the tombstone
     */
    public static StoreItem deleted(String key, long revision) {
        return new StoreItem(key, revision, new byte[0], true);
    }

    @Override
    public String toString() {
        return key + "@" + revision + (isDeleted ? " deleted" : "");
    }
}
