#include "configuration/name_rules.h"

#include <unicode/normalizer2.h>
#include <unicode/uchar.h>
#include <unicode/unistr.h>
#include <unicode/uspoof.h>
#include <unicode/ustring.h>

#include <cstdio>
#include <memory>
#include <stdexcept>

namespace jaypick {
namespace {

struct SpoofCheckerCloser {
  void operator()(USpoofChecker* checker) const { uspoof_close(checker); }
};
using SpoofCheckerPointer = std::unique_ptr<USpoofChecker, SpoofCheckerCloser>;

void ThrowOnError(UErrorCode error) {
  if (U_FAILURE(error)) {
    throw std::runtime_error(std::string("ICU: ") + u_errorName(error));
  }
}

SpoofCheckerPointer OpenSpoofChecker() {
  UErrorCode error = U_ZERO_ERROR;
  SpoofCheckerPointer checker(uspoof_open(&error));
  uspoof_setChecks(checker.get(), USPOOF_RESTRICTION_LEVEL, &error);
  uspoof_setRestrictionLevel(checker.get(), USPOOF_MODERATELY_RESTRICTIVE);
  ThrowOnError(error);
  return checker;
}

const USpoofChecker* SpoofChecker() {
  static const SpoofCheckerPointer checker = OpenSpoofChecker();
  return checker.get();
}

icu::UnicodeString ToUnicode(std::string_view text) {
  return icu::UnicodeString::fromUTF8(
      icu::StringPiece(text.data(), static_cast<std::int32_t>(text.size())));
}

std::string CodePointName(UChar32 code_point) {
  char text[16];
  std::snprintf(text, sizeof(text), "U+%04X",
                static_cast<unsigned int>(code_point));
  return text;
}

// True for control characters, format characters such as a zero-width space,
// and spaces other than U+0020.
bool IsUnprintable(UChar32 code_point) {
  return code_point != ' ' && (u_isgraph(code_point) == 0 ||
                               u_charType(code_point) == U_FORMAT_CHAR);
}

bool HasExtraSpaces(const icu::UnicodeString& name) {
  return name.startsWith(u" ") || name.endsWith(u" ") ||
         name.indexOf(u"  ") >= 0;
}

bool MixesScripts(std::string_view name) {
  UErrorCode error = U_ZERO_ERROR;
  const std::int32_t failed = uspoof_check2UTF8(
      SpoofChecker(), name.data(), static_cast<std::int32_t>(name.size()),
      nullptr, &error);
  ThrowOnError(error);
  return failed != 0;
}

bool IsSeparator(UChar32 code_point) {
  return code_point == '-' || code_point == '_' ||
         u_isUWhiteSpace(code_point) != 0 ||
         u_charType(code_point) == U_FORMAT_CHAR;
}

icu::UnicodeString WithoutSeparators(const icu::UnicodeString& name) {
  icu::UnicodeString result;
  for (std::int32_t i = 0; i < name.length(); i = name.moveIndex32(i, 1)) {
    if (!IsSeparator(name.char32At(i))) {
      result.append(name.char32At(i));
    }
  }
  return result;
}

icu::UnicodeString Skeleton(const icu::UnicodeString& name) {
  UErrorCode error = U_ZERO_ERROR;
  icu::UnicodeString skeleton;
  uspoof_getSkeletonUnicodeString(SpoofChecker(), 0, name, skeleton, &error);
  ThrowOnError(error);
  return skeleton;
}

}  // namespace

bool IsValidUtf8(std::string_view text) {
  UErrorCode error = U_ZERO_ERROR;
  std::int32_t length = 0;
  u_strFromUTF8(nullptr, 0, &length, text.data(),
                static_cast<std::int32_t>(text.size()), &error);
  return U_SUCCESS(error) || error == U_BUFFER_OVERFLOW_ERROR;
}

std::optional<std::string> ValidateName(std::string_view name) {
  const icu::UnicodeString unicode = ToUnicode(name);
  const auto length = static_cast<std::size_t>(unicode.countChar32());
  if (length == 0) {
    return "is empty";
  }
  if (length > kMaxNameLength) {
    return "has " + std::to_string(length) +
           " characters; a name has at most " + std::to_string(kMaxNameLength);
  }
  for (std::int32_t i = 0; i < unicode.length();
       i = unicode.moveIndex32(i, 1)) {
    if (IsUnprintable(unicode.char32At(i))) {
      return "contains the unprintable character " +
             CodePointName(unicode.char32At(i));
    }
  }
  if (HasExtraSpaces(unicode)) {
    return "has a space at an end or two in a row";
  }
  if (MixesScripts(name)) {
    return "mixes scripts whose letters look alike";
  }
  return std::nullopt;
}

std::string ConfusableSkeleton(std::string_view name) {
  UErrorCode error = U_ZERO_ERROR;
  const icu::Normalizer2* const folding =
      icu::Normalizer2::getNFKCCasefoldInstance(error);
  ThrowOnError(error);
  icu::UnicodeString skeleton = WithoutSeparators(ToUnicode(name));
  // Some letters look alike only before case folding, others only after it, so
  // the skeleton is computed both times. The skeleton of a capital "I" is "l",
  // which folding leaves unchanged, so that "I" would not match "i". Mapping
  // "i" to "l" makes "I", "i" and "l" equal.
  skeleton = Skeleton(folding->normalize(Skeleton(skeleton), error));
  skeleton = Skeleton(folding->normalize(skeleton, error));
  skeleton.findAndReplace(u"i", u"l");
  ThrowOnError(error);
  std::string text;
  return skeleton.toUTF8String(text);
}

}  // namespace jaypick
