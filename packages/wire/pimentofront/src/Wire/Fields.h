#ifndef PIMENTOFRONT_WIRE_FIELDS_H
#define PIMENTOFRONT_WIRE_FIELDS_H

/// Declares the field list of a message: the order of the fields is their order
/// in the encoding, and comparison covers all of them. A later release may only
/// append fields; a reader ignores fields that it does not know and leaves
/// missing ones at their default.
///
/// A macro, since C++20 can't list the members of a struct.
#define PIMENTOFRONT_FIELDS(type, ...)                                         \
  friend auto operator<=>(const type &, const type &) = default;               \
  template <class Visitor> void visitFields(Visitor &&visitor) {               \
    visitor(__VA_ARGS__);                                                      \
  }                                                                            \
  template <class Visitor> void visitFields(Visitor &&visitor) const {         \
    visitor(__VA_ARGS__);                                                      \
  }

#endif
