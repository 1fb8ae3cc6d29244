/** Bounds of the entries' fields, and checks that go over all entries of a catalogue. */
package org.apricotdeal.catalogue.check;
