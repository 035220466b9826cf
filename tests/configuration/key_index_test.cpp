#include "laburnumkeel/configuration/key_index.h"

#include <cppunit/extensions/HelperMacros.h>

#include "laburnumkeel/configuration/key_hash.h"
#include "laburnumkeel/model/configuration_codec.h"
#include "tests/support/sample_configuration.h"

namespace laburnumkeel::configuration {
namespace {

class KeyIndexTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyIndexTest);
  CPPUNIT_TEST(FindsAccountOfKey);
  CPPUNIT_TEST(RefusesChangedKeys);
  CPPUNIT_TEST(SaltsDiffer);
  CPPUNIT_TEST(GeneratedKeyIsValidAndNotStored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->key = GenerateKey();
    model::Configuration configuration = testing::SampleConfiguration();
    configuration.client_accounts[1].keys = {GenerateKey().hash,
                                             this->key.hash};
    this->configuration =
        std::make_shared<const model::Configuration>(configuration);
  }

  // Guards against a key that gives access to another account.
  void FindsAccountOfKey() {
    const KeyIndex index(this->configuration);
    const model::ClientAccount* account = index.FindAccount(this->key.text);
    CPPUNIT_ASSERT(account != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("small"), account->name);
  }

  // Guards against checking only the id or a part of the secret.
  void RefusesChangedKeys() {
    const KeyIndex index(this->configuration);
    const std::string& text = this->key.text;
    std::string last_changed = text;
    last_changed.back() = last_changed.back() == '0' ? '1' : '0';
    const std::string id(KeyId(text).value());
    for (const std::string& presented :
         {std::string(), id, id + ".", "." + text, text + "0", last_changed,
          text.substr(0, text.size() - 1), "unknown." + text.substr(17),
          this->key.hash.digest, id + "." + std::string(5000, 'a')}) {
      CPPUNIT_ASSERT_MESSAGE(presented,
                             index.FindAccount(presented) == nullptr);
    }
  }

  // Guards against hashes without distinct salts, which would reveal that two
  // keys are equal.
  void SaltsDiffer() {
    const model::KeyHash again = HashKey(this->key.text);
    CPPUNIT_ASSERT(again.digest != this->key.hash.digest);
    CPPUNIT_ASSERT(MatchesKey(again, this->key.text));
  }

  // Guards against a generated key that fails validation, and against a
  // document that contains the secret.
  void GeneratedKeyIsValidAndNotStored() {
    CPPUNIT_ASSERT(Validate(*this->configuration).empty());
    const std::string secret = this->key.text.substr(17);
    CPPUNIT_ASSERT_EQUAL(std::string::npos,
                         model::Encode(*this->configuration).find(secret));
  }

 private:
  GeneratedKey key;
  std::shared_ptr<const model::Configuration> configuration;
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyIndexTest);

}  // namespace
}  // namespace laburnumkeel::configuration
