/** Registry of the backend servers, by the entries that they register. */
package org.guavathread.core.registry;
