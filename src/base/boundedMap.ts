/** Maps whose size is bounded. */

/**
 * Sets an entry as the newest one. If the map then has more than `maxSize` entries, deletes the oldest one that is not in use;
 * the map grows beyond the bound only while all entries are in use.
 * @param isInUse Returns whether an entry must be kept.
 */
export function setBounded<Key, T>(
    map: Map<Key, T>,
    key: Key,
    value: T,
    maxSize: number,
    isInUse: (value: T) => boolean,
): void {
    map.delete(key);
    map.set(key, value);
    if (map.size <= maxSize) {
        return;
    }
    for (const [oldKey, oldValue] of map) {
        if (oldKey !== key && !isInUse(oldValue)) {
            map.delete(oldKey);
            return;
        }
    }
}
