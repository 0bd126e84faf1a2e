// Validation of the settings. Internal to the library.
#pragma once

#include "stoathub/stoathub.hpp"

namespace stoathub {

/// Throws std::invalid_argument, naming the field, if a value is out of range.
void validate(const Settings& settings);

}  // namespace stoathub
