/*
 * Groups of callers that the operators' files in `examples` define.
 */
package org.arbutusnotch.testing.load

/**
 * Describes a group of callers that share a key.
 *
 * @property key bearer key; the operators' file contains its SHA-256 digest
 * @property priority priority of the group in the operators' file
 */
public data class CallerProfile(public val name: String, public val key: String, public val priority: Int) {
    public companion object {
        /** Returns a group of an example file; its key is its name with the prefix `demo-`. */
        public fun demo(name: String, priority: Int): CallerProfile = CallerProfile(name, "demo-$name", priority)
    }
}
