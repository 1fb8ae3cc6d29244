/** Repeatable measurements of single parts, for docs/CAPACITY.md. */
package org.apricotdeal.lab.measure;
